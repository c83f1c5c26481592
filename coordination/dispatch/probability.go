package dispatch

const (
	// jitterSteps is the number of steps in which the jitter of scores is integrated. It gives probabilities to about 0.01.
	jitterSteps = 200
	// minProbability is shown for replicas that may be chosen but get less by the integral, so that 1 means a certain choice.
	minProbability = 1e-4
)

// setProbabilities sets the probabilities of the rated replicas.
func (b *Balancer) setProbabilities(e *explainer) {
	if len(e.rated) == 0 {
		return
	}
	var probabilities []float64
	if e.rated[0].replica.model != nil {
		probabilities = b.drawProbabilities(e.rated)
	} else {
		probabilities = jitterProbabilities(e.rated, b.cfg.Jitter)
	}
	highest := 0.0
	for i, p := range probabilities {
		row := &e.Replicas[e.index[i]]
		row.Probability = p
		if p > highest {
			highest, e.Likely = p, row.ID
		}
	}
}

// jitterProbabilities returns the probabilities with which each candidate has the lowest score after a jitter in [0, jitter) was added.
func jitterProbabilities(list []candidate, jitter float64) []float64 {
	probabilities := make([]float64, len(list))
	best := 0
	for i := range list {
		if list[i].score < list[best].score {
			best = i
		}
	}
	lowest := list[best].score
	if jitter <= 0 {
		probabilities[best] = 1
		return probabilities
	}
	total := 0.0
	for step := range jitterSteps {
		score := lowest + jitter*(float64(step)+0.5)/jitterSteps
		allHigher := 1.0
		for i := range list {
			allHigher *= higherProbability(list[i].score, jitter, score)
		}
		for i := range list {
			if list[i].score <= score {
				p := allHigher / higherProbability(list[i].score, jitter, score)
				probabilities[i] += p
				total += p
			}
		}
	}
	for i := range list {
		probabilities[i] /= total
		if list[i].score < lowest+jitter {
			probabilities[i] = max(probabilities[i], minProbability)
		}
		if probabilities[i] == 1 && contested(list, i, jitter) {
			probabilities[i] -= minProbability
		}
	}
	return probabilities
}

// contested reports whether another candidate may get a lower score than the one at an index.
func contested(list []candidate, index int, jitter float64) bool {
	for i := range list {
		if i != index && list[i].score < list[index].score+jitter {
			return true
		}
	}
	return false
}

// higherProbability returns the probability that a score with its jitter is above a value that is less than the score plus jitter.
func higherProbability(score, jitter, value float64) float64 {
	return min((score+jitter-value)/jitter, 1)
}

// drawProbabilities returns the probabilities with which chooseModelled returns each candidate.
func (b *Balancer) drawProbabilities(list []candidate) []float64 {
	var home, distant []candidate
	var homeIndex, distantIndex []int
	for i := range list {
		if b.inOwnRegion(list[i].replica) {
			home, homeIndex = append(home, list[i]), append(homeIndex, i)
		} else {
			distant, distantIndex = append(distant, list[i]), append(distantIndex, i)
		}
	}
	probabilities := make([]float64, len(list))
	atHome, away := drawShares(home), drawShares(distant)
	for j, q := range away {
		if len(home) == 0 {
			probabilities[distantIndex[j]] = q
		}
	}
	for i, p := range atHome {
		leaving := 0.0
		for j, q := range away {
			if leavesRegion(&home[i], &distant[j]) {
				probabilities[distantIndex[j]] += p * q
				leaving += q
			}
		}
		probabilities[homeIndex[i]] = p * max(1-leaving, 0)
	}
	return probabilities
}

// drawShares returns the probabilities with which draw returns each candidate.
func drawShares(list []candidate) []float64 {
	if len(list) == 0 {
		return nil
	}
	shares := make([]float64, len(list))
	level, total, best := commonLevel(list), 0.0, 0
	for i := range list {
		shares[i] = list[i].deficit(level)
		total += shares[i]
		if list[i].score < list[best].score {
			best = i
		}
	}
	if total <= 0 {
		shares[best] = 1
		return shares
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}
