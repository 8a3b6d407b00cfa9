// Package crowdtest presses entry hosts with crowds of clients that do not keep to the published
// protocol. The hosts run as processes of their own on loopback addresses, so that their memory and
// descriptors can be read from the kernel. The tests check only what does not depend on the speed of
// the machine.
package crowdtest
