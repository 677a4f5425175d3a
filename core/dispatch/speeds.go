package dispatch

import "marigoldfront.dev/core/placement"

// Speeds returns the learned run times, ordered by service and target. They
// include those that were taken over.
func (d *Dispatcher) Speeds() []Speed {
	learned := d.policy.speeds()
	all := make([]Speed, 0, len(learned))
	for _, s := range learned {
		all = append(all, Speed(s))
	}
	return all
}

// Configured reports whether a configuration is in force.
func (d *Dispatcher) Configured() bool { return d.dir != nil }

func (d *Dispatcher) takeOverSpeeds(ev SpeedsLearned) {
	all := make([]placement.Speed, 0, len(ev.Speeds))
	for _, s := range ev.Speeds {
		all = append(all, placement.Speed(s))
	}
	d.policy.takeOver(all)
}

func (p *loadPolicy) speeds() []placement.Speed      { return p.table.Speeds() }
func (p *loadPolicy) takeOver(all []placement.Speed) { p.table.TakeOver(all) }

// The baseline policy learns no run times.
func (p *baseline) speeds() []placement.Speed  { return nil }
func (p *baseline) takeOver([]placement.Speed) {}
