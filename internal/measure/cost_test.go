package measure

import "testing"

func BenchmarkTargetSize(b *testing.B) {
	for range b.N {
		cost := SchedulerCost(TargetSize(), 1)
		b.ReportMetric(float64(cost.GrantTime.Nanoseconds()), "ns/grant")
	}
}
