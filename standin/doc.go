// Package standin is the root of its module; see docs/design.md.
package standin
