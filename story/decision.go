package story

import (
	"fmt"
	"strings"

	"boragehub/event"
)

// Decision names the decision due to which the request was refused or late, with its inputs. It is
// empty if the request was neither, or if the logs don't show it.
func (s *Timeline) Decision() string {
	lines := s.Lines()

	for i := len(lines) - 1; i >= 0; i-- {
		switch l := &lines[i]; l.Event {
		case event.PromptRefused.Number:
			return l.admissionRefusal()
		case event.RequestGivenUp.Number:
			if refused := last(lines[:i], event.PromptRefused.Number); refused != nil && l.text("ran") == "not_run" {
				return refused.admissionRefusal()
			}

			return fmt.Sprintf("given up (%s) after %s ms: %s", l.text("kind"), l.text("after_ms"), l.text("cause"))
		case event.RequestServed.Number:
			return lateness(lines[:i], l)
		}
	}

	return ""
}

// last returns the last line of an event, nil if there is none.
func last(lines []Line, number int) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == number {
			return &lines[i]
		}
	}

	return nil
}

// text returns a field as text, a question mark if it is missing.
func (l *Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return "?"
	}

	return fmt.Sprint(v)
}

// number returns a field as a number, zero if it is missing.
func (l *Line) number(field string) float64 {
	v, _ := l.Fields[field].(float64)

	return v
}

// admissionRefusal returns why the admission queue refused a prompt.
func (l *Line) admissionRefusal() string {
	var why string

	switch l.text("reason") {
	case "full":
		why = fmt.Sprintf("%s others waited, as many as may", l.text("waiting"))
	case "expected_wait":
		why = fmt.Sprintf("%s prompts were ahead of it at %.1f admissions a second, a wait of %s ms, and it had to be sent within %s ms (half of the time to its deadline)",
			l.text("ahead"), l.number("per_second"), l.text("expected_wait_ms"), l.text("due_ms"))
	case "half_time":
		why = "it found no engine within half of the time to its deadline"
	case "expired":
		why = "its caller was about to leave"
	case "stopping":
		why = "the entry was about to end"
	default:
		why = l.text("reason")
	}

	return fmt.Sprintf("refused by the admission queue after %s ms: %s; not sent before because: %s; its caller was told to return after %s ms",
		l.text("waited_ms"), why, l.text("cause"), l.text("retry_after_ms"))
}

// lateness returns why a served request was late, with the lines before that of the response.
func lateness(lines []Line, served *Line) string {
	first, target := served.number("first_ms"), served.number("target_ms")
	if target <= 0 || first <= target {
		return ""
	}

	parts := []string{fmt.Sprintf("late: the first event came after %.0f ms, the latency target is %.0f ms", first, target)}

	for i := range lines {
		switch l := &lines[i]; l.Event {
		case event.PromptAdmitted.Number:
			parts = append(parts, fmt.Sprintf("it waited %s ms in the admission queue (%s ahead of it, overtaken by %s)", l.text("waited_ms"), l.text("ahead"), l.text("overtaken")))
		case event.RoomAwaited.Number:
			parts = append(parts, fmt.Sprintf("it waited %s ms for capacity", l.text("waited_ms")))
		case event.AttemptFailed.Number:
			parts = append(parts, fmt.Sprintf("an attempt at %s failed (%s)", l.text("target"), l.text("outcome")))
		}
	}

	if sent := last(lines, event.AttemptSent.Number); sent != nil {
		parts = append(parts, fmt.Sprintf("at %s a cost of %s ms was expected", sent.text("target"), sent.text("cost_ms")))
	}

	return strings.Join(parts, "; ")
}
