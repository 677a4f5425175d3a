// Package infra is the root of its module; see docs/design.md.
package infra
