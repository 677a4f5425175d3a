package scheduler

// Memory returns the memory, in bytes, that a job takes where it was submitted, at its
// owner and in the messages between them.
func (j *Job) Memory() int64 {
	const perStep, perTask, perDependency = 512, 256, 24
	n := 2 * int64(len(j.Payload))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += perStep + perTask*int64(s.Count) + perDependency*int64(len(s.After)) + int64(len(s.Label)+len(s.Rack))
	}
	return n
}
