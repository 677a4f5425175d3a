package convert

import (
	"cmp"
	"slices"
	"time"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/wire"
)

const (
	// MaxSpeeds bounds the learned run times in a message, so that the message
	// stays well below 1 MB.
	MaxSpeeds = 8192
	// maxMeanUS and maxSamples keep received values within the range of their Go
	// types. The core checks whether the values are plausible.
	maxMeanUS  = int64(time.Hour / time.Microsecond)
	maxSamples = 1 << 30
)

// ToSpeeds converts learned run times to messages. Beyond MaxSpeeds it keeps
// those with the most samples; it may reorder the argument.
func ToSpeeds(speeds []dispatch.Speed) []*wire.Speed {
	if len(speeds) > MaxSpeeds {
		slices.SortStableFunc(speeds, func(a, b dispatch.Speed) int { return cmp.Compare(b.Samples, a.Samples) })
		speeds = speeds[:MaxSpeeds]
	}
	out := make([]*wire.Speed, 0, len(speeds))
	for _, s := range speeds {
		out = append(out, &wire.Speed{
			Target: s.Target, Service: s.Service, MeanUs: s.Mean.Microseconds(), Samples: int64(s.Samples),
		})
	}
	return out
}

// FromSpeeds converts messages to learned run times. It drops those after the
// first MaxSpeeds and limits values that are out of range.
func FromSpeeds(speeds []*wire.Speed) []dispatch.Speed {
	speeds = speeds[:min(len(speeds), MaxSpeeds)]
	out := make([]dispatch.Speed, 0, len(speeds))
	for _, s := range speeds {
		mean := min(max(s.GetMeanUs(), 0), maxMeanUS)
		out = append(out, dispatch.Speed{
			Target: s.GetTarget(), Service: s.GetService(), Mean: time.Duration(mean) * time.Microsecond,
			Samples: int(min(max(s.GetSamples(), 0), maxSamples)),
		})
	}
	return out
}
