package questionnaire

import (
	"fmt"
	"strconv"
	"strings"
)

// question is one question of the questionnaire. The pointer that field returns
// is a *string, *Count, *float64, *[]string or a pointer to a string type.
type question[T any] struct {
	key   string
	text  string
	field func(*T) any
	// optional is true when the answer may stay empty.
	optional bool
}

var organisationQuestions = []question[Answers]{
	{"organisation", "What is your organisation called?", func(a *Answers) any { return &a.Organisation }, false},
	{"customer_header", "Which request header names the customer's account? Empty: X-Customer.",
		func(a *Answers) any { return &a.CustomerHeader }, true},
}

var serviceQuestions = []question[Service]{
	{"name", "A short name for the service, such as orders.", func(s *Service) any { return &s.Name }, false},
	{"purpose", "What does the service do for customers?", func(s *Service) any { return &s.Purpose }, false},
	{"host", "Which host name do callers use for it? Empty: any.", func(s *Service) any { return &s.Host }, true},
	{"instances", "How many instances of it run?", func(s *Service) any { return &s.Instances }, false},
	{"slots_per_instance", "How many requests can one instance work on at the same time?",
		func(s *Service) any { return &s.SlotsPerInstance }, false},
	{"instances_out", "How many instances may be out at the same time? The others always stay in use.",
		func(s *Service) any { return &s.InstancesOut }, false},
	{"warm_up", "How long does a new instance take until it is as fast as the others, such as 5s?",
		func(s *Service) any { return &s.WarmUp }, false},
	{"health_path", "Which path tells whether an instance works? Empty: /healthz.",
		func(s *Service) any { return &s.HealthPath }, true},
	{"when_full", "What should a customer get when every slot is taken? refuse: a clear refusal at once; wait: wait a little first.",
		func(s *Service) any { return &s.WhenFull }, false},
	{"longest_wait", "If wait: how long at most, such as 500ms?", func(s *Service) any { return &s.LongestWait }, true},
	{"customer_percent", "Which share of the service may one customer take, in percent? 0: no limit.",
		func(s *Service) any { return &s.CustomerPercent }, true},
	{"most_per_second", "Does something behind the service allow only so many requests/s? 0: no.",
		func(s *Service) any { return &s.MostPerSecond }, true},
	{"most_at_once", "Does something behind the service allow only so many requests at once? 0: no.",
		func(s *Service) any { return &s.MostAtOnce }, true},
}

var workQuestions = []question[Work]{
	{"name", "A short name for this kind of work, such as place.", func(w *Work) any { return &w.Name }, false},
	{"purpose", "What does the customer want with it?", func(w *Work) any { return &w.Purpose }, false},
	{"paths", "Which paths start such requests, such as /orders?", func(w *Work) any { return &w.Paths }, false},
	{"methods", "Which HTTP methods, such as POST? Empty: any.", func(w *Work) any { return &w.Methods }, true},
	{"twice_hurts", "Does it hurt when the same request is done twice (an order, a payment)? yes or no.",
		func(w *Work) any { return &w.TwiceHurts }, false},
	{"typical", "How long does it usually take, such as 40ms?", func(w *Work) any { return &w.Typical }, false},
	{"longest", "After how long has the customer no more use for the answer, such as 2s?",
		func(w *Work) any { return &w.Longest }, false},
	{"runs", "Does it run short, long (many times longer than the rest, such as a download) or mixed (both under one path)?",
		func(w *Work) any { return &w.Runs }, false},
	{"usual_demand", "How many such requests/s come on an ordinary day? 0: unknown.",
		func(w *Work) any { return &w.UsualDemand }, true},
	{"peak_demand", "How many such requests/s come at the busiest moment?", func(w *Work) any { return &w.PeakDemand }, false},
	{"largest_request_kib", "How large is the largest request body, in KiB? 0: 1024.",
		func(w *Work) any { return &w.LargestRequestKiB }, true},
}

// New returns an empty questionnaire: a commented TOML file with one service
// and one kind of work.
func New() []byte {
	a := Answers{Services: []Service{{Work: []Work{{}}}}}
	return a.Encode()
}

const fileHeader = `# Questionnaire for hyssopsill. Answer each question behind its key and keep the
# quotes. Copy the block [[services]] for each further service and the block
# [[services.work]] for each further kind of work of the service above it.
# Then run: hyssopsill questionnaire check FILE
#           hyssopsill questionnaire generate FILE

`

// Encode returns the answers as a commented questionnaire, which Parse reads back.
func (a *Answers) Encode() []byte {
	var b strings.Builder
	b.WriteString(fileHeader)
	writeAnswers(&b, organisationQuestions, a, "")
	for i := range a.Services {
		s := &a.Services[i]
		b.WriteString("\n[[services]]\n")
		writeAnswers(&b, serviceQuestions, s, "")
		for j := range s.Work {
			b.WriteString("\n  [[services.work]]\n")
			writeAnswers(&b, workQuestions, &s.Work[j], "  ")
		}
	}
	return []byte(b.String())
}

func writeAnswers[T any](b *strings.Builder, questions []question[T], answers *T, indent string) {
	for _, q := range questions {
		fmt.Fprintf(b, "%s# %s\n%s%s = %s\n", indent, q.text, indent, q.key, formatAnswer(q.field(answers)))
	}
}

func formatAnswer(field any) string {
	switch v := field.(type) {
	case *Count:
		return formatNumber(float64(*v))
	case *float64:
		return formatNumber(*v)
	case *[]string:
		quoted := make([]string, len(*v))
		for i, s := range *v {
			quoted[i] = quote(s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	default:
		return quote(*stringField(field))
	}
}

// stringField returns a field of a string type as *string.
func stringField(field any) *string {
	switch v := field.(type) {
	case *string:
		return v
	case *YesNo:
		return (*string)(v)
	case *WhenFull:
		return (*string)(v)
	case *Runs:
		return (*string)(v)
	}
	panic(fmt.Sprintf("questionnaire: field of type %T", field))
}

// setAnswer parses an answer from the terminal into a field.
func setAnswer(field any, text string) error {
	switch v := field.(type) {
	case *Count:
		return parseNumber(text, func(n float64) { *v = Count(n) })
	case *float64:
		return parseNumber(text, func(n float64) { *v = n })
	case *[]string:
		*v = strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
	default:
		*stringField(field) = text
	}
	return nil
}

func parseNumber(text string, set func(float64)) error {
	if text == "" {
		text = "0"
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("%q is not a number", text)
	}
	set(n)
	return nil
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// quote returns s as a TOML basic string.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
