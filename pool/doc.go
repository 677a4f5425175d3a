// Package pool is the module of the entry instance for pools of leased targets.
// A leased target runs tasks only while its owner renews a lease, and it accepts
// requests of one owner at a time. The packages of the module use the platform
// through the interfaces of package port.
package pool
