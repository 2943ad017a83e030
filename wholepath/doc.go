// Package wholepath holds tests of the way from caller to target and back.
//
// # Model
//
// Each test assembles entries, side processes and stand-ins in its own process
// and joins them over loopback, with keys, settings and the list of VMs as in a
// deployment. What a process does beyond that, such as signals, is tested with
// real processes in package incident.
//
// The tests know what callers sent and got and what targets ran; the stand-in's
// answer is a function of its prompt, so that each answer tells whose it is and
// whether it is whole. docs/proofs/wholepath.md lists what was broken to see
// each of them fail.
package wholepath
