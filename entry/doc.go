// Package entry is the root of its module; see docs/design.md.
package entry
