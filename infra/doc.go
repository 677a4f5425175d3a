// Package platform is the root of its module; see docs/design.md.
package platform
