// Package entry is the root of the module of the entry instance, which accepts
// the jobs of callers and dispatches their tasks to targets. See docs/design.md.
package entry
