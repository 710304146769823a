package finding

// DeepNestingLine returns the line of the first value or key of a TOML file that is
// nested deeper than brackets allows or has more than dots dots, and 0 when
// there is none. Dots count per line, brackets over lines. The TOML decoder
// recurses without a bound of its own.
func DeepNestingLine(data []byte, brackets, dots int) int {
	line, open, seen := 1, 0, 0
	for _, b := range data {
		switch b {
		case '\n':
			line, seen = line+1, 0
		case '[', '{':
			open++
		case ']', '}':
			open = max(0, open-1)
		case '.':
			seen++
		}
		if open > brackets || seen > dots {
			return line
		}
	}
	return 0
}
