// Package ctl is the root of its module; see docs/design.md.
package ctl
