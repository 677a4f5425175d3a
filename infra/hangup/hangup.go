// Package hangup makes a program that imports it ignore SIGHUP until it asks for the signal
// with signal.Notify. Otherwise the signal ends a process in its first milliseconds, while
// the runtime has not installed its handlers. The package has no effect without cgo.
package hangup
