package questionnaire

import (
	"fmt"
	"io"
	"strings"
)

// Terminal reads and writes lines. *term.Terminal implements it.
type Terminal interface {
	io.Writer
	ReadLine() (string, error)
}

// Ask asks all questions on a terminal and repeats a question when its answer is
// invalid. It returns an error when the input ends early.
func Ask(t Terminal) (Answers, error) {
	var a Answers
	c := collector{}
	if err := askAll(t, organisationQuestions, &a, func() []answerError {
		return c.collect(func(chk checker) { chk.answers(&a) }, "")
	}); err != nil {
		return a, err
	}
	for more := true; more; {
		s, err := askService(t)
		if err != nil {
			return a, err
		}
		a.Services = append(a.Services, s)
		if more, err = askMore(t, "Is there a further service?"); err != nil {
			return a, err
		}
	}
	return a, nil
}

func askService(t Terminal) (Service, error) {
	var s Service
	c := collector{}
	fmt.Fprintln(t, "\nA service:")
	if err := askAll(t, serviceQuestions, &s, func() []answerError {
		return c.collect(func(chk checker) { chk.service("s", &s) }, "s.")
	}); err != nil {
		return s, err
	}
	for more := true; more; {
		var w Work
		fmt.Fprintf(t, "\nA kind of work of service %s:\n", s.Name)
		err := askAll(t, workQuestions, &w, func() []answerError {
			return c.collect(func(chk checker) { chk.work("w", &w) }, "w.")
		})
		if err != nil {
			return s, err
		}
		s.Work = append(s.Work, w)
		if more, err = askMore(t, "Is there a further kind of work?"); err != nil {
			return s, err
		}
	}
	return s, nil
}

// answerError says what is wrong with the answer to the question key.
type answerError struct{ key, message string }

// collector collects the errors that a check reports for one level of questions.
type collector struct{}

// collect runs a check and returns its errors. It removes the prefix from their keys.
func (collector) collect(check func(checker), prefix string) []answerError {
	var errs []answerError
	check(checker{addFinding: func(key, format string, args ...any) {
		errs = append(errs, answerError{strings.TrimPrefix(key, prefix), fmt.Sprintf(format, args...)})
	}})
	return errs
}

// askAll asks the questions and writes the answers into the fields of answers.
// After each one it calls check and asks again when there is an error for it.
func askAll[T any](t Terminal, questions []question[T], answers *T, check func() []answerError) error {
	for _, q := range questions {
		for {
			fmt.Fprintln(t, q.text)
			line, err := t.ReadLine()
			if err != nil {
				return fmt.Errorf("question %s: %w", q.key, err)
			}
			message := ""
			if err := setAnswer(q.field(answers), strings.TrimSpace(line)); err != nil {
				message = err.Error()
			} else {
				message = messageFor(q.key, check())
			}
			if message == "" {
				break
			}
			fmt.Fprintln(t, "  "+message)
		}
	}
	return nil
}

// messageFor returns the first error message for a key, or an empty string.
func messageFor(key string, errs []answerError) string {
	for _, e := range errs {
		if e.key == key {
			return e.message
		}
	}
	return ""
}

// askMore asks a yes-or-no question; an empty line means no.
func askMore(t Terminal, text string) (bool, error) {
	for {
		fmt.Fprintln(t, "\n"+text+" yes or no.")
		line, err := t.ReadLine()
		if err != nil {
			return false, err
		}
		switch YesNo(strings.TrimSpace(line)) {
		case Yes:
			return true, nil
		case No, "":
			return false, nil
		}
	}
}
