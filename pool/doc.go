// Package pool is the module of the entry instance for pools of leased
// targets: targets that keep what they run only under a lease, and obey one
// owner at a time. Its packages meet the platform through the interfaces of
// package port.
package pool
