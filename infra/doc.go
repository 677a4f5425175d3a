// Package infra is the root of the module of clients, settings, logs, traces
// and metrics that the programs share. See docs/design.md.
package infra
