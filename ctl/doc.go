// Package ctl is the root of the module of marigoldctl, the command line of
// callers and operators. See docs/design.md.
package ctl
