package chaos

import "time"

// checkVersions checks that the configuration version of an incarnation never
// decreases and that each version has the content of the accepted patch.
func (checker *checker) checkVersions() {
	type incarnation struct {
		process string
		started time.Time
	}
	latest := map[incarnation]uint64{}
	for _, sample := range checker.samples {
		key := incarnation{sample.process, sample.started}
		if sample.version < latest[key] {
			checker.fail(12, "%s went back from version %d to %d", sample.process, latest[key], sample.version)
		}
		latest[key] = sample.version
		if sample.version > uint64(len(checker.versions)) {
			checker.fail(12, "%s has version %d, but only %d patches are accepted", sample.process, sample.version, len(checker.versions))
			continue
		}
		if sample.version == 0 {
			continue
		}
		accepted := checker.versions[sample.version-1]
		if sample.contendedMaxWait != accepted.contendedMaxWait {
			checker.fail(12, "%s has %s in force as version %d, but %s is accepted", sample.process, sample.contendedMaxWait, sample.version, accepted.contendedMaxWait)
		}
	}
}

// checkPropagation checks that each accepted version is in force at each process
// within configBound, extended by failures that kept the process from the log.
func (checker *checker) checkPropagation() {
	for _, process := range checker.processes() {
		for _, version := range checker.versions[1:] {
			checker.checkPropagationTo(process, version)
		}
	}
}

func (checker *checker) checkPropagationTo(process *process, version version) {
	bound := configBound + process.stalenessAllowance(version.at, version.at.Add(configBound))
	if outage := checker.logOutage; outage.from.Sub(version.at) < logReadWindow && outage.until.After(version.at) {
		bound = max(bound, configBound+outage.until.Sub(version.at))
	}
	for _, sample := range checker.samples {
		if sample.process != process.name || sample.started.After(version.at) || sample.at.Before(version.at) {
			continue
		}
		took := sample.at.Sub(version.at)
		if sample.version >= version.number {
			if bound == configBound && checker.logOutage == (interval{}) {
				checker.propagationDelays = append(checker.propagationDelays, took)
			}
			return
		}
		if took > bound+sampleInterval {
			checker.fail(12, "version %d is not in force at %s after %s", version.number, process.name, took)
			return
		}
	}
}
