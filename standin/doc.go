// Package standin is the root of the module of marigold-standin, a stand-in for
// the platform and for targets in tests. See docs/design.md.
package standin
