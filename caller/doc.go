// Package caller is the library with which callers submit jobs to the entry
// instances of a region.
//
// A Session belongs to one incarnation of one entry instance, its home. Any
// instance accepts requests of the session and forwards them to the home.
// Submission is idempotent: after a cut connection the library repeats the
// same id at any instance, and no task starts twice because of it. The library
// never submits a job again under a new id; whether an unknown answer may be
// resubmitted is the caller's decision.
package caller
