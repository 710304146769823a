package finding

// DeepNestingLine returns the first line of a TOML file on which more than maxDepth
// brackets are open or that has more than maxDots dots, and 0 when there is none.
// Brackets are counted across lines. Callers check it before they decode a file,
// because the TOML decoder does not bound its recursion.
func DeepNestingLine(data []byte, maxDepth, maxDots int) int {
	line, depth, dots := 1, 0, 0
	for _, b := range data {
		switch b {
		case '\n':
			line, dots = line+1, 0
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '.':
			dots++
		}
		if depth > maxDepth || dots > maxDots {
			return line
		}
	}
	return 0
}
