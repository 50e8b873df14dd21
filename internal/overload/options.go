package overload

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// A Time is a reading of the controller's own clock. Clocks of different controllers need not agree.
type Time = time.Duration

// neverDue is a deadline that does not come.
const neverDue = Time(1 << 62)

// Defaults of Options. Above membersPerInterval controllers the report interval grows in proportion.
const (
	defaultReportInterval    = 500 * time.Millisecond
	membersPerInterval       = 600
	defaultHeartbeatInterval = 10 * time.Second
	defaultAggregatorTerm    = 2 * time.Minute
)

// Options of a Member.
type Options struct {
	Self              int    // number of this controller, from 0 on
	Controllers       int    // number of controllers, this one included; 1 to 1600
	Incarnation       uint32 // greater at each start of the controller
	Seed              uint64 // of random numbers
	LatencyThreshold  Time   // set-up time from which the admission module calls an answer late
	ReportInterval    Time   // between load reports during an overload; 0: 500 ms, longer for more than 600 controllers
	HeartbeatInterval Time   // between load reports in calm; 0: 10 s
	AggregatorTerm    Time   // for which an aggregator is selected; 0: 2 min
}

// Check sets the defaults and returns an error if an option is out of range.
func (o *Options) Check() error {
	switch {
	case o.Controllers < 1 || o.Controllers > maxMembers:
		return fmt.Errorf("share: %d controllers, 1 to %d are possible", o.Controllers, maxMembers)
	case o.Self < 0 || o.Self >= o.Controllers:
		return fmt.Errorf("share: controller number %d is not below the number of controllers, %d",
			o.Self, o.Controllers)
	case o.LatencyThreshold <= 0:
		return errors.New("share: the latency threshold is not positive")
	case min(o.ReportInterval, o.HeartbeatInterval, o.AggregatorTerm) < 0:
		return errors.New("share: an interval is negative")
	}
	reportInterval := max(defaultReportInterval, defaultReportInterval*Time(o.Controllers)/membersPerInterval)
	o.ReportInterval = cmp.Or(o.ReportInterval, reportInterval)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.AggregatorTerm = cmp.Or(o.AggregatorTerm, defaultAggregatorTerm)
	return nil
}

// limitLifetime is how long a limit update holds. It spans several updates, of which some may be lost.
func (o *Options) limitLifetime() Time {
	return max(minLimitLifetime, limitLifetimePeriods*o.ReportInterval)
}
