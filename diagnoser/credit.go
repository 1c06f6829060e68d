package diagnoser

import (
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Credit is what requests of one kind are worth to the site's users.
type Credit struct {
	// Name is the operators' name of the kind.
	Name string `yaml:"name"`
	// ObjectiveMS, MaxGapMS and Once tell which routes are meant; of several kinds
	// that fit, the one whose timeout is nearest to TimeoutMS.
	ObjectiveMS int64 `yaml:"objective-ms"`
	MaxGapMS    int64 `yaml:"max-pause-ms"`
	TimeoutMS   int64 `yaml:"timeout-ms"`
	Once        bool  `yaml:"once"`
	// OnTime and Late are what an answer is worth.
	OnTime float64 `yaml:"on-time"`
	Late   float64 `yaml:"late"`
}

// Credits are what all requests are worth. Requests to models are worth more if they
// are large: a part of their worth grows with their size against the mean of their kind.
type Credits struct {
	Kinds []Credit `yaml:"kinds"`
	// SizeFraction is the part of a request's worth that grows with its size, and
	// MaxSizeRatio the most times the mean that a size counts.
	SizeFraction float64 `yaml:"size-part"`
	MaxSizeRatio float64 `yaml:"most-size"`
	// AnswerWeight is how many prompt tokens an answer token counts for.
	AnswerWeight float64 `yaml:"answer-weight"`
}

// Defaults for sites whose operators state nothing: all kinds are worth the same, an
// answer that is late a quarter. An answer token takes an engine about as long as ten
// prompt tokens, by the published figures of engines of this size.
const (
	defaultOnTime       = 1
	defaultLate         = 0.25
	defaultMaxSizeRatio = 4
	defaultAnswerWeight = 10
)

// DefaultCredits weigh all requests alike.
func DefaultCredits() Credits {
	return Credits{MaxSizeRatio: defaultMaxSizeRatio, AnswerWeight: defaultAnswerWeight}
}

// ReadCredits decodes credits that operators wrote.
func ReadCredits(source io.Reader) (Credits, error) {
	credits := DefaultCredits()
	if err := yaml.NewDecoder(source, yaml.DisallowUnknownField()).Decode(&credits); err != nil {
		return credits, errors.Wrap(err, "the credits can't be read")
	}
	for _, k := range credits.Kinds {
		if k.Name == "" || k.OnTime <= 0 || k.Late < 0 || k.Late > k.OnTime {
			return credits, errors.Errorf("the credits of kind %q can't be: on-time must be above 0, late from 0 to on-time, and the name set", k.Name)
		}
	}
	if credits.SizeFraction < 0 || credits.SizeFraction > 1 || credits.MaxSizeRatio < 1 || credits.AnswerWeight < 0 {
		return credits, errors.New("size-part must be from 0 to 1, most-size 1 or more, answer-weight 0 or more")
	}
	return credits, nil
}

// of returns the credit of a request's kind, and whether the operators named it.
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

// kindName names requests of which the operators say nothing.
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

// size is the request's size in prompt tokens.
func (c *Credits) size(r *Request) float64 {
	call := r.first()
	return float64(call.PromptTokens) + c.AnswerWeight*float64(call.ExpectedTokens)
}

// weight is what a size makes of a worth, where the mean of its kind makes 1.
func (c *Credits) weight(size, mean float64) float64 {
	if mean <= 0 || size <= 0 {
		return 1
	}
	return min(1-c.SizeFraction+c.SizeFraction*size/mean, c.MaxSizeRatio)
}
