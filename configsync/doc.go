// Package configsync passes configurations on between hosts.
//
// A host that hears of a newer configuration than its own normally reads it from the store. If that takes too
// long, it asks other hosts, one at a time and part by part, and asks for the next part when it has the one before.
// So there is at most one part on its way to a host, however many hosts have the configuration and however narrow the
// link is, and heartbeats and orders pass between the parts. A host that is asked gives a share of its link to
// answers. Parts are compressed; each can come from another host, since a record is the same on all.
//
// The package does no I/O and reads no clock.
package configsync
