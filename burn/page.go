package burn

import (
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
)

// pageTemplate is the template of the HTML page. The page has a table and a plot for each objective,
// and no scripts or references to other files.
const pageTemplate = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 75em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
th:first-child, td:first-child, td:nth-child(2) { text-align: left; }
tr.fast td { background: #f8c8c8; }
tr.slow td { background: #fbeac0; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.Report.Time.Format "2006-01-02 15:04 MST"}}, entries:{{range .Report.Entries}} {{.}}{{end}}.
{{if .Report.Worst}}Worst-served customer: {{.Report.Worst}}.{{end}} Alerts: {{.Report.Alerts}}.</p>
<table>
<tr><th>customer</th><th>objective</th><th>target</th><th>good</th><th>of</th><th>budget left</th>
<th>1 h</th><th>5 min</th><th>6 h</th><th>30 min</th><th>alert</th></tr>
{{range $c := .Report.Customers}}{{range .Objectives}}<tr class="{{.Alert}}"><td>{{$c.Customer}}</td><td>{{.Objective}}</td>
<td>{{percent .Target}}</td><td>{{percent .Good}}</td><td>{{printf "%.0f" .All}}</td><td>{{percent .BudgetLeft}}</td>
<td>{{printf "%.1f" .Burn.FastLong}}</td><td>{{printf "%.1f" .Burn.FastShort}}</td>
<td>{{printf "%.1f" .Burn.SlowLong}}</td><td>{{printf "%.1f" .Burn.SlowShort}}</td><td>{{.Alert}}</td></tr>
{{end}}{{end}}</table>
<p>Good events, budget and the window of 6 h are of the last six hours. The share counts tokens, all else requests.</p>
{{range .Plots}}<h2>{{.Objective}}</h2>
{{.SVG}}
{{end}}</body>
</html>
`

// pageData is what the pageData shows.
type pageData struct {
	Report Report
	Plots  []objectivePlot
}

// objectivePlot is the plot of one objective.
type objectivePlot struct {
	Objective Objective
	SVG       template.HTML
}

// WritePage writes the report as a self-contained HTML page.
func (r Report) WritePage(w io.Writer) error {
	parsed, err := template.New("page").Funcs(template.FuncMap{"percent": percent}).Parse(pageTemplate)
	if err != nil {
		return errors.Wrap(err, "parse page template")
	}
	content := pageData{Report: r}
	for _, o := range objectives() {
		drawn, err := r.drawObjective(o)
		if err != nil {
			return err
		}
		content.Plots = append(content.Plots, objectivePlot{
			Objective: o,
			SVG:       template.HTML(drawn), //nolint:gosec // The library escapes the texts of a plot.
		})
	}
	return errors.Wrap(parsed.Execute(w, content), "write report page")
}
