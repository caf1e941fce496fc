package clients

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// observePeriod is the time between two counts of the open descriptors.
	observePeriod = 20 * time.Millisecond
	bytesPerMB    = 1_000_000
)

// Subject is a process under test.
type Subject struct {
	Name string
	PID  int
	// Memory is the memory of the process's machine in bytes. Descriptors is the number of
	// descriptors that it may have open, or zero.
	Memory      int64
	Descriptors int
}

// Observer watches the subjects of a case.
type Observer struct {
	subjects []Subject
	stop     chan struct{}
	group    sync.WaitGroup
	// mostOpen is the largest number of open descriptors of each subject.
	mostOpen []int
}

// NewObserver begins to watch the subjects.
func NewObserver(subjects ...Subject) *Observer {
	o := &Observer{subjects: subjects, stop: make(chan struct{}), mostOpen: make([]int, len(subjects))}
	o.group.Go(o.watch)
	return o
}

func (o *Observer) watch() {
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	for {
		for i, s := range o.subjects {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.PID))
			if err == nil {
				o.mostOpen[i] = max(o.mostOpen[i], len(entries))
			}
		}
		select {
		case <-o.stop:
			return
		case <-ticker.C:
		}
	}
}

// Stop ends the watch and returns the measured values, and a description of each subject that has
// ended or has exceeded its bounds.
func (o *Observer) Stop() (measured, violations []string) {
	close(o.stop)
	o.group.Wait()
	for i, s := range o.subjects {
		peak, alive := readPeak(s.PID)
		if !alive {
			violations = append(violations, s.Name+" has ended")
			continue
		}
		measured = append(measured, fmt.Sprintf("%s took %d of %d MB and %d descriptors", s.Name, peak/bytesPerMB, s.Memory/bytesPerMB, o.mostOpen[i]))
		if peak > s.Memory {
			violations = append(violations, fmt.Sprintf("%s took %d MB, want at most the %d MB of its machine",
				s.Name, peak/bytesPerMB, s.Memory/bytesPerMB))
		}
		if s.Descriptors > 0 && o.mostOpen[i] >= s.Descriptors {
			violations = append(violations, fmt.Sprintf("%s had all of its %d descriptors open", s.Name, s.Descriptors))
		}
	}
	return measured, violations
}

// readPeak returns the most memory that a process has taken, and whether it is alive.
func readPeak(pid int) (int64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	var kilobytes int64
	_, after, found := bytes.Cut(data, []byte("VmHWM:"))
	if found {
		_, _ = fmt.Sscan(string(after), &kilobytes)
	}
	// A process that has ended has no memory, also while nobody has waited for it.
	return kilobytes << 10, found
}
