package benchreport

import "math"

// Mean is the mean of a figure over several days, with its standard error.
type Mean struct {
	Name  string  `json:"name"`
	Mean  float64 `json:"mean"`
	Error float64 `json:"error"` // standard error of the mean; 0 for a single day
	Days  int     `json:"days"`
}

// MeansOf returns the mean value of several days under the name "worth", followed by the mean loss for each part and
// price that has a loss on any of the days.
func MeansOf(days []*LossReport) []Mean {
	values := make([]float64, 0, len(days))
	for _, day := range days {
		values = append(values, day.Value)
	}
	means := []Mean{meanOf("worth", values)}
	for _, name := range lossNames(days) {
		losses := make([]float64, 0, len(days))
		for _, day := range days {
			losses = append(losses, day.lossOf(name))
		}
		means = append(means, meanOf(name, losses))
	}
	return means
}

// lossNames returns the distinct names of the days' losses in the order of their first appearance.
func lossNames(days []*LossReport) []string {
	var names []string
	seen := map[string]bool{}
	for _, day := range days {
		for _, loss := range day.Losses {
			if !seen[loss.Name] {
				seen[loss.Name] = true
				names = append(names, loss.Name)
			}
		}
	}
	return names
}

// lossOf returns the loss for a part or a price, or 0 if the day has none.
func (l *LossReport) lossOf(name string) float64 {
	for _, loss := range l.Losses {
		if loss.Name == name {
			return loss.Lost
		}
	}
	return 0
}

// meanOf returns the mean of the values. Its standard error is the sample standard deviation divided by the square root
// of the sample size.
func meanOf(name string, values []float64) Mean {
	count := float64(len(values))
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
	}
	mean := sum / count
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	result := Mean{Name: name, Mean: mean, Days: len(values)}
	if count > 1 {
		result.Error = math.Sqrt(squares / (count - 1) / count)
	}
	return result
}
