// Package wholepath holds end-to-end tests of the request path from caller to
// target and back.
//
// # Model
//
// Each test runs entries, side processes and stand-ins in one process and
// connects them over loopback, with certificates, settings and the VM list as in
// a deployment. What needs a process of its own, such as signals, is tested with
// real processes in package incident.
//
// The tests compare what callers sent and received with what the targets ran.
// The response of the engine stand-in is a function of the prompt, so a test can
// tell which prompt a response belongs to and whether it is complete.
// docs/proofs/wholepath.md lists the changes to the code under which each test
// was seen to fail.
package wholepath
