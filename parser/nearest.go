package parser

// maxDistance is the number of edits up to which a name counts as misspelt.
const maxDistance = 2

// Nearest returns the known name with the fewest edits from the given one, or
// nothing when all are too far.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, k := range known {
		if d := distance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
