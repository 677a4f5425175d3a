// Package caller is the library with which callers submit jobs to the entry
// instances of a region.
//
// A Session belongs to one incarnation of one entry instance, its home
// instance. Any instance accepts requests of the session and forwards them to
// the home instance.
//
// A job is identified by its session and sequence number. Submission is
// idempotent: after a lost connection the library repeats the request with the
// same sequence number at any instance, and this starts no task twice. The
// library never submits a job again under a new sequence number. The caller
// decides whether to submit a job with an unknown answer again.
package caller
