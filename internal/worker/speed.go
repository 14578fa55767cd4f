package worker

// Learned speeds of backend servers. They answer a load on uneven servers: where the
// same task takes two or three times as long on some servers as on others, placing by
// free capacity alone makes long tasks late while faster servers are free.
//
//  1. A sample is the natural logarithm of a run time divided by the run time that the
//     estimator expects at the reference speed. Only runs that completed their task are
//     samples, since a run that fails may fail early. The tasks of a job share the error of
//     its declared run time: in the average of a kind they count as one sample together, in
//     that of a server the first one counts. Once tasks of the job have ended on other
//     servers, their run times are expected, and each further one is a sample of its own. So
//     is one that no wrong declaration explains: a server that has turned slow gets few jobs
//     that could show that it is fast again.
//  2. Samples are averaged for each kind of server and for each server. A kind counts as
//     different from the average server, and a server as different from its kind, only if
//     the averages differ by more than maxChanceDeviation standard errors. Where all
//     servers are alike, none does, also while little is known.
//  3. A server that has turned slow or fast shows as speedChangeStreak samples in a row
//     that all lie far on one side of its average, as measured by their spread. The average then starts anew from
//     these samples. A single long run changes little.
//  4. The reference speed is the average of the kinds, weighted by their servers, so
//     that estimates of run times keep their meaning whatever servers a queue uses.
//  5. Placing uses classes of speed that are speedClassWidth wide, so that servers that
//     differ by chance only are placed on by best fit as before.

import (
	"math"
	"time"
)

const (
	// maxServerSamples and maxKindSamples bound the weight of the past in an average, in
	// samples. A server with two slots and tasks of 0.2 s passes that many within five
	// seconds, a kind with a hundred such servers within one.
	maxServerSamples = 50
	maxKindSamples   = 1000
	// minSpeedSamples is the number of samples from which on an average counts.
	minSpeedSamples = 5
	// maxChanceDeviation is the deviation of a server from its kind, in standard errors,
	// that counts as chance.
	maxChanceDeviation = 4
	// speedChangeStreak samples in a row whose ratio to the average exceeds
	// speedChangeRatio, or falls below its inverse, mean that the speed has changed. They must
	// also differ from the average by speedChangeDeviations standard deviations.
	speedChangeStreak     = 3
	speedChangeRatio      = 1.8
	speedChangeDeviations = 2
	// certainDeviations is the deviation from the average, in standard deviations, that no
	// declared run time is expected to be off by: 1 in 2,000 is.
	certainDeviations = 3.5
	// maxSpeedSample bounds a sample, so that one straggler doesn't distort an average.
	maxSpeedSample = 2.3 // about ln 10
	// minSampleDeviation is the least standard deviation assumed of samples. Declared
	// run times are off by up to 40 %, and few samples show too small a deviation.
	minSampleDeviation = 0.4
	// speedClassWidth is the ratio of run times between neighboring classes of speed.
	speedClassWidth = 1.25
	// maxSpeedClass bounds the classes of speed in both directions.
	maxSpeedClass = 10
)

// sampleAverage is a moving average of samples with its variance.
type sampleAverage struct {
	mean, variance float64
	// weight is the number of samples, up to the maximum of add.
	weight float64
}

// add adds a sample that counts as much as weight samples, at most 1. maxWeight bounds the
// weight of the past.
func (a *sampleAverage) add(x, weight, maxWeight float64) {
	a.weight = math.Min(a.weight+weight, maxWeight)
	d, part := x-a.mean, weight/a.weight
	a.mean += d * part
	a.variance += (d*(x-a.mean) - a.variance) * part
}

// deviation returns the standard deviation of a sample.
func (a *sampleAverage) deviation() float64 {
	return math.Max(math.Sqrt(a.variance), minSampleDeviation)
}

// standardError returns the standard error of the mean.
func (a *sampleAverage) standardError() float64 {
	return a.deviation() / math.Sqrt(math.Max(a.weight, 1))
}

// known reports whether there are enough samples to rely on.
func (a *sampleAverage) known() bool { return a.weight >= minSpeedSamples }

// differs reports whether the average differs from a value by more than chance explains.
func (a *sampleAverage) differs(value float64) bool {
	return a.known() && math.Abs(a.mean-value) > maxChanceDeviation*a.standardError()
}

// serverSpeed is what is known of the speed of one server.
type serverSpeed struct {
	own sampleAverage
	// streak is the number of the latest samples in a row that lie far above the average,
	// negative if they lie far below it. streakSum is their sum.
	streak    int
	streakSum float64
	// lastJob is the ID of the job of the last sample.
	lastJob string
}

// kindSpeed is what is known of the speed of all servers of a kind.
type kindSpeed struct {
	all sampleAverage
	// servers is the number of servers of the kind.
	servers int
}

// speedModel holds the learned speeds of the servers of one owner. It is not safe for
// concurrent use.
type speedModel struct {
	kinds map[string]*kindSpeed
	// reference is the average of the kinds that are known (rule 4).
	reference float64
}

func newSpeedModel() *speedModel { return &speedModel{kinds: map[string]*kindSpeed{}} }

// setServers sets the number of servers of each kind.
func (m *speedModel) setServers(count map[string]int) {
	for _, k := range m.kinds {
		k.servers = 0
	}
	for kind, n := range count {
		m.kind(kind).servers = n
	}
	m.updateReference()
}

func (m *speedModel) kind(name string) *kindSpeed {
	k := m.kinds[name]
	if k == nil {
		k = &kindSpeed{}
		m.kinds[name] = k
	}
	return k
}

func (m *speedModel) updateReference() {
	sum, servers := 0.0, 0
	for _, k := range m.kinds {
		if k.all.known() {
			sum += float64(k.servers) * k.all.mean
			servers += k.servers
		}
	}
	m.reference = 0
	if servers > 0 {
		m.reference = sum / float64(servers)
	}
}

// speedSample is a run that completed a task of a job.
type speedSample struct {
	job string
	// tasks is the number of tasks of the job.
	tasks int
	// took is the run time, expected that at the reference speed.
	took, expected time.Duration
	// siblings reports whether expected comes from other tasks of the job.
	siblings bool
}

// record adds a run on a server of a kind (rules 1 to 3).
func (m *speedModel) record(kind string, s *serverSpeed, r speedSample) {
	if r.took <= 0 || r.expected <= 0 {
		return
	}
	x := math.Max(-maxSpeedSample, math.Min(maxSpeedSample, math.Log(r.took.Seconds()/r.expected.Seconds())))
	if r.siblings || s.lastJob != r.job || s.isCertain(x) {
		s.lastJob = r.job
		s.add(x)
	}
	k := m.kind(kind)
	if k.all.known() {
		// A server that differs must not stand for its kind.
		x = math.Max(k.all.mean-math.Log(speedChangeRatio), math.Min(k.all.mean+math.Log(speedChangeRatio), x))
	}
	k.all.add(x, 1/float64(max(r.tasks, 1)), maxKindSamples)
	m.updateReference()
}

// isCertain reports whether a sample is so far from the average that the error of a declared
// run time doesn't explain it.
func (s *serverSpeed) isCertain(x float64) bool {
	return s.own.known() && math.Abs(x-s.own.mean) > certainDeviations*s.own.deviation()
}

// add adds a sample (rule 3).
func (s *serverSpeed) add(x float64) {
	far := s.own.known() && math.Abs(x-s.own.mean) > math.Max(math.Log(speedChangeRatio), speedChangeDeviations*s.own.deviation())
	above := x > s.own.mean
	switch {
	case !far:
		s.streak, s.streakSum = 0, 0
	case above == (s.streak > 0) && s.streak != 0:
		s.streakSum += x
		if above {
			s.streak++
		} else {
			s.streak--
		}
	default:
		s.streakSum, s.streak = x, -1
		if above {
			s.streak = 1
		}
	}
	if s.streak < speedChangeStreak && s.streak > -speedChangeStreak {
		s.own.add(x, 1, maxServerSamples)
		return
	}
	s.own = sampleAverage{mean: s.streakSum / speedChangeStreak, weight: minSpeedSamples}
	s.streak, s.streakSum = 0, 0
}

// factor returns the run time on a server relative to the reference speed: 2 on a server
// that takes twice as long. It is 1 for a server and a kind that are not known.
func (m *speedModel) factor(kind string, s *serverSpeed) float64 {
	k := m.kinds[kind]
	mean := m.reference
	if k != nil && k.all.differs(mean) {
		mean = k.all.mean
	}
	if s.own.differs(mean) {
		mean = s.own.mean
	}
	return math.Exp(mean - m.reference)
}

// speedClass returns the class of a factor: 0 for the reference speed, higher for slower
// servers (rule 5).
func speedClass(factor float64) int {
	c := math.Round(math.Log(factor) / math.Log(speedClassWidth))
	return int(math.Max(-maxSpeedClass, math.Min(maxSpeedClass, c)))
}
