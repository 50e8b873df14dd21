package incident

import (
	"fmt"
	"slices"
	"time"

	"olivedale/internal/record"
)

// overloadMergeGap is the longest pause between two overload periods of one finding.
const overloadMergeGap = 5 * time.Second

// A placedOverload is an overload period of one instance, placed on the time line.
type placedOverload struct {
	Notice
	ref, endRef Ref
}

// findOverload finds when each server was overloaded: from the time at which the first instance limits its rate to the
// time at which the last one lifts the limit.
func (r *Report) findOverload(parts []*Part) {
	byServer := r.placeOverload(parts)
	for _, server := range sortedKeys(byServer) {
		periods := byServer[server]
		slices.SortStableFunc(periods, func(a, b placedOverload) int { return compareMid(a.At, b.At) })
		for len(periods) > 0 {
			f, n := mergeOverload(server, periods)
			periods = periods[n:]
			counts, incomplete := r.sumWithin(f.From.Mid(), f.To.Mid())
			f.Incomplete = incomplete
			f.Text = fmt.Sprintf(
				"%d of %d instances noticed; meanwhile %s calls were rejected or failed, %s were offered",
				len(f.Noticed), len(parts),
				formatCount(counts.Rejected()+counts.Outcome(record.OutcomeFailed), incomplete),
				formatCount(counts.Offered, incomplete))
			r.add(f)
		}
	}
}

// placeOverload places the overload periods of all parts, by server.
func (r *Report) placeOverload(parts []*Part) map[string][]placedOverload {
	byServer := make(map[string][]placedOverload)
	for n, p := range parts {
		for _, x := range p.OverloadPeriods {
			isOngoing := x.To == 0
			to := x.To
			if isOngoing {
				to = p.Starts[x.startIndex].To
			}
			byServer[x.Server] = append(byServer[x.Server], placedOverload{
				Notice: Notice{
					Instance: p.Instance,
					At:       r.moment(n, x.startIndex, x.From),
					End:      r.moment(n, x.startIndex, to),
					MinRate:  x.MinRate,
					Ongoing:  isOngoing,
				},
				ref:    x.Ref,
				endRef: x.End,
			})
		}
	}
	return byServer
}

// mergeOverload returns one finding for the leading periods that are at most overloadMergeGap apart, and their number.
func mergeOverload(server string, periods []placedOverload) (f Finding, n int) {
	f = Finding{Kind: FoundOverload, Server: server, From: periods[0].At, To: periods[0].End}
	for n < len(periods) && periods[n].At.Mid() <= f.To.Mid()+overloadMergeGap {
		period := periods[n]
		if period.End.Mid() > f.To.Mid() {
			f.To = period.End
		}
		f.Ongoing = f.Ongoing || period.Ongoing
		if !f.hasNoticeOf(period.Instance) && len(f.Noticed) < maxNotices {
			if n > 0 {
				period.Order = Compare(period.At, f.From)
				period.MinDelay, period.MaxDelay, _ = Delay(f.From, period.At)
			}
			f.Noticed = append(f.Noticed, period.Notice)
		}
		if period.endRef.Seq > 0 {
			f.addRef(period.ref, period.endRef)
		} else {
			f.addRef(period.ref)
		}
		n++
	}
	return f, n
}

func (f *Finding) hasNoticeOf(instance string) bool {
	return slices.ContainsFunc(f.Noticed, func(n Notice) bool { return n.Instance == instance })
}
