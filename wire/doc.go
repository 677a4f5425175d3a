// Package wire holds the generated types and the Twirp clients and servers of
// the protocols between instances. The schemas are marigold.proto (entry
// instances) and pool.proto (instances that share leased targets); run
// "make generate" after a change to one of them.
package wire
