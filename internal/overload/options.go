package overload

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// A Time is a reading of the controller's own clock. The clocks of controllers need not be synchronized.
type Time = time.Duration

// neverDue is a deadline that is never reached.
const neverDue = Time(1 << 62)

// Defaults of Options. With more than membersPerInterval controllers the report interval grows in proportion to their
// number.
const (
	defaultReportInterval    = 500 * time.Millisecond
	membersPerInterval       = 600
	defaultHeartbeatInterval = 10 * time.Second
	defaultAggregatorTerm    = 2 * time.Minute
)

// Options configure a Member.
type Options struct {
	Self              int    // number of this controller, from 0
	Controllers       int    // number of controllers including this one, 1 to 1600
	Incarnation       uint32 // must increase with each start of the controller
	Seed              uint64 // of the random number generator
	LatencyThreshold  Time   // set-up time from which the admission module considers an answer late
	ReportInterval    Time   // between load reports in an overload; 0: 500 ms, more above 600 controllers
	HeartbeatInterval Time   // between load reports in the absence of overload; 0: 10 s
	AggregatorTerm    Time   // time for which an aggregator is selected; 0: 2 min
}

// Check replaces zero values with their defaults and returns an error if an option is out of range.
func (o *Options) Check() error {
	switch {
	case o.Controllers < 1 || o.Controllers > maxMembers:
		return fmt.Errorf("overload: number of controllers %d is not between 1 and %d", o.Controllers, maxMembers)
	case o.Self < 0 || o.Self >= o.Controllers:
		return fmt.Errorf("overload: controller number %d is negative or not less than the number of controllers, %d",
			o.Self, o.Controllers)
	case o.LatencyThreshold <= 0:
		return errors.New("overload: latency threshold must be positive")
	case min(o.ReportInterval, o.HeartbeatInterval, o.AggregatorTerm) < 0:
		return errors.New("overload: intervals must not be negative")
	}
	reportInterval := max(defaultReportInterval, defaultReportInterval*Time(o.Controllers)/membersPerInterval)
	o.ReportInterval = cmp.Or(o.ReportInterval, reportInterval)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.AggregatorTerm = cmp.Or(o.AggregatorTerm, defaultAggregatorTerm)
	return nil
}

// limitLifetime returns how long a limit update is valid. It spans several updates, as some of them may be lost.
func (o *Options) limitLifetime() Time {
	return max(minLimitLifetime, limitLifetimePeriods*o.ReportInterval)
}
