// Package incident holds fault-injection tests of the built program, with each
// entry, side process and stand-in a process of its own on loopback. Processes
// are killed, paused and resumed, or stopped, and platform services fail.
//
// Each test takes seconds, so only what cannot be tested in virtual time belongs
// here. The tests check what a caller received and what a target ran, never how
// long anything took. The oracle for a response is a separate engine stand-in,
// called directly with the same prompt.
package incident
