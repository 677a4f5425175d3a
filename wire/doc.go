// Package wire holds the generated types and the twirp client and server of
// the protocol between entry instances. The schema is marigold.proto; run
// "make generate" after a change to it.
package wire
