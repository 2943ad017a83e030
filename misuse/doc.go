// Package misuse runs the real processes against clients that don't keep to the limits: bodies and
// heads that are large, slow, endless or stop midway, connections that stay open, responses that
// nobody reads.
//
// The processes get little memory and few descriptors in their settings. The tests check what doesn't
// depend on the machine's speed: that the process lives, that its memory and its open descriptors
// stay below those of its settings, and that ordinary requests get responses beside the clients and
// afterwards.
//
// The tests measure memory, so they run alone, one at a time, against programs built without the race
// detector.
package misuse
