package dispatch

import (
	"slices"

	"marigoldfront.dev/core/placement"
)

// Speeds returns the learned run times, including imported ones, ordered by
// service and target.
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

func (d *Dispatcher) importSpeeds(ev ImportSpeeds) {
	all := make([]placement.Speed, 0, len(ev.Speeds))
	for _, s := range ev.Speeds {
		all = append(all, placement.Speed(s))
	}
	d.policy.importSpeeds(all)
}

func (p *loadPolicy) speeds() []placement.Speed          { return p.table.Speeds() }
func (p *loadPolicy) importSpeeds(all []placement.Speed) { p.table.ImportSpeeds(all) }

// The baseline policy learns no run times.
func (p *baselinePolicy) speeds() []placement.Speed      { return nil }
func (p *baselinePolicy) importSpeeds([]placement.Speed) {}

// Ejected returns the targets that receive only probes, because their attempts
// failed.
func (d *Dispatcher) Ejected() []string { return slices.Clone(d.policy.ejected()) }

func (p *loadPolicy) ejected() []string { return p.health.Ejected() }

// The baseline policy ejects no target.
func (p *baselinePolicy) ejected() []string { return nil }
