package chaos

import "time"

// checkVersions checks that no process goes back and that each version is the
// accepted one.
func (checker *checker) checkVersions() {
	type incarnation struct {
		process string
		started time.Time
	}
	newest := map[incarnation]uint64{}
	for _, sample := range checker.samples {
		of := incarnation{sample.process, sample.started}
		if sample.version < newest[of] {
			checker.fail(12, "%s went back from version %d to %d", sample.process, newest[of], sample.version)
		}
		newest[of] = sample.version
		if sample.version > uint64(len(checker.versions)) {
			checker.fail(12, "%s has version %d, but only %d patches are accepted", sample.process, sample.version, len(checker.versions))
			continue
		}
		if sample.version == 0 {
			continue
		}
		accepted := checker.versions[sample.version-1]
		if sample.raceWait != accepted.raceWait {
			checker.fail(12, "%s has %s in force as version %d, but %s is accepted", sample.process, sample.raceWait, sample.version, accepted.raceWait)
		}
	}
}

// checkSpread checks that each accepted version is in force everywhere in time.
func (checker *checker) checkSpread() {
	for _, process := range checker.processes() {
		for _, version := range checker.versions[1:] {
			checker.checkArrival(process, version)
		}
	}
}

func (checker *checker) checkArrival(process *process, version version) {
	bound := configBound + process.allowance(version.at, version.at.Add(configBound))
	if down := checker.logDown; down.from.Sub(version.at) < readTime && down.until.After(version.at) {
		bound = max(bound, configBound+down.until.Sub(version.at))
	}
	for _, sample := range checker.samples {
		if sample.process != process.name || sample.started.After(version.at) || sample.at.Before(version.at) {
			continue
		}
		took := sample.at.Sub(version.at)
		if sample.version >= version.number {
			if bound == configBound && checker.logDown == (window{}) {
				checker.spread = append(checker.spread, took)
			}
			return
		}
		if took > bound+samplePause {
			checker.fail(12, "version %d is not in force at %s after %s", version.number, process.name, took)
			return
		}
	}
}
