package parser

// maxEditDistance is the largest number of edits at which a name still counts
// as misspelt.
const maxEditDistance = 2

// Nearest returns the known name with the smallest edit distance to the given
// one, or the empty string if no known name is near enough.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxEditDistance+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two names, in bytes.
func editDistance(a, b string) int {
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
