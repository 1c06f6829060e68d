package diagnoser

import (
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Credit is the value of requests of one kind to the site's users.
type Credit struct {
	// Name is the operators' name for the kind.
	Name string `yaml:"name"`
	// ObjectiveMS, MaxGapMS and Once select the service levels of the kind. If several kinds
	// match, the one whose timeout is nearest to TimeoutMS applies.
	ObjectiveMS int64 `yaml:"objective-ms"`
	MaxGapMS    int64 `yaml:"max-pause-ms"`
	TimeoutMS   int64 `yaml:"timeout-ms"`
	Once        bool  `yaml:"once"`
	// OnTime and Late are the credit for a response on time and for a late one.
	OnTime float64 `yaml:"on-time"`
	Late   float64 `yaml:"late"`
}

// Credits holds the credit of all kinds of requests. For requests to models, a part of the
// credit can grow with the request's size relative to the mean size of its kind.
type Credits struct {
	Kinds []Credit `yaml:"kinds"`
	// SizeFraction is the part of a request's credit that grows with its size. MaxSizeRatio
	// caps the weight of a request; a request of mean size has weight 1.
	SizeFraction float64 `yaml:"size-part"`
	MaxSizeRatio float64 `yaml:"most-size"`
	// AnswerWeight is the number of prompt tokens that one response token counts as.
	AnswerWeight float64 `yaml:"answer-weight"`
}

// Defaults for sites without credits of their own: all kinds are worth the same, and a late
// response is worth a quarter. A response token costs an engine about as much time as ten
// prompt tokens.
const (
	defaultOnTime       = 1    // credit per response
	defaultLate         = 0.25 // credit per response
	defaultMaxSizeRatio = 4    // multiples of the mean size
	defaultAnswerWeight = 10   // prompt tokens per response token
)

// DefaultCredits returns credits that weigh all requests alike.
func DefaultCredits() Credits {
	return Credits{MaxSizeRatio: defaultMaxSizeRatio, AnswerWeight: defaultAnswerWeight}
}

// ReadCredits decodes and checks credits in YAML.
func ReadCredits(source io.Reader) (Credits, error) {
	credits := DefaultCredits()
	if err := yaml.NewDecoder(source, yaml.DisallowUnknownField()).Decode(&credits); err != nil {
		return credits, errors.Wrap(err, "reading credits")
	}
	for _, k := range credits.Kinds {
		if k.Name == "" || k.OnTime <= 0 || k.Late < 0 || k.Late > k.OnTime {
			return credits, errors.Errorf("credits of kind %q are invalid: on-time must be above 0, late between 0 and on-time, and the name not empty", k.Name)
		}
	}
	if credits.SizeFraction < 0 || credits.SizeFraction > 1 || credits.MaxSizeRatio < 1 || credits.AnswerWeight < 0 {
		return credits, errors.New("size-part must be between 0 and 1, most-size at least 1, answer-weight at least 0")
	}
	return credits, nil
}

// match returns the credit of a service level, and whether the operators defined it.
func (c *Credits) match(level ServiceLevel) (credit Credit, named bool) {
	var best *Credit
	for i := range c.Kinds {
		k := &c.Kinds[i]
		if duration(k.ObjectiveMS) != level.Objective || duration(k.MaxGapMS) != level.MaxGap || k.Once != level.Once {
			continue
		}
		if best == nil || k.distance(level) < best.distance(level) {
			best = k
		}
	}
	if best != nil {
		return *best, true
	}
	return Credit{Name: kindName(level), OnTime: defaultOnTime, Late: defaultLate}, false
}

func (c *Credit) distance(level ServiceLevel) time.Duration {
	return (duration(c.TimeoutMS) - level.Timeout).Abs()
}

// kindName returns a name for a service level that the operators have not named.
func kindName(level ServiceLevel) string {
	if level == (ServiceLevel{}) {
		return "terms not told"
	}
	name := level.Objective.String()
	if level.MaxGap > 0 {
		name += ", pauses " + level.MaxGap.String()
	}
	name += " of " + level.Timeout.String()
	if level.Once {
		name += ", once"
	}
	return name
}

// size returns the request's size in prompt tokens.
func (c *Credits) size(r *Request) float64 {
	call := r.first()
	return float64(call.PromptTokens) + c.AnswerWeight*float64(call.ExpectedTokens)
}

// weight returns the factor on a request's credit; a request of mean size has 1.
func (c *Credits) weight(size, mean float64) float64 {
	if mean <= 0 || size <= 0 {
		return 1
	}
	return min(1-c.SizeFraction+c.SizeFraction*size/mean, c.MaxSizeRatio)
}
