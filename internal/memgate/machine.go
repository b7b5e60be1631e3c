package memgate

import "golang.org/x/sys/unix"

// machineFraction is the part of the machine's memory that a process counts as its own
// if its settings don't say how much it has.
const machineFraction = 4

// eventFraction is the part of the memory that may hold large events of endpoints. What
// clients can make the process hold is a third of it, and the rest is for what is counted
// by the request.
const eventFraction = 16

// EventBytes returns how much memory of this process may hold large events that endpoints
// have not completed, from the setting memory_mb. It returns 0 if the memory of the
// process is not known.
func EventBytes(memoryMB int) int64 { return ProcessBytes(memoryMB) / eventFraction }

// ProcessBytes returns the memory of this process from the setting memory_mb, or else
// from the memory of the machine. It returns 0 if neither is known.
func ProcessBytes(memoryMB int) int64 {
	if memoryMB > 0 {
		return int64(memoryMB) << 20
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit) / machineFraction
}
