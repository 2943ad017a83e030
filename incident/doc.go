// Package incident holds the tests that run the real program, each part a
// process of its own on loopback, and do to it what happens to VMs: processes
// are killed, frozen and woken, told to stop, and the platform goes out.
//
// What virtual time can't show belongs here and nothing else, since each test
// takes seconds. The tests assert facts (what a caller got, what a target ran)
// and never how long something took. The oracle for an answer is an engine
// stand-in of its own, asked directly with the same prompt.
package incident
