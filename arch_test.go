package wick_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decisionPackages lists the packages that must do no I/O and read no clock.
var decisionPackages = []string{".", "config", "audit", "lease", "claim", "route", "place", "sched", "limit", "eject", "crash", "evict", "facts", "slots", "terms", "choose", "admit", "share", "gate"}

// allowedImports lists what decision packages may import besides each other.
var allowedImports = []string{
	"cmp", "container/heap", "context", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "net/netip", "slices", "sort", "strconv", "strings", "time",
	"github.com/cespare/xxhash/v2",
}

// clockFuncs lists the functions of package time that read the clock or wait for it.
var clockFuncs = []string{
	"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker",
}

// source is a parsed file of the module.
type source struct {
	dir  string
	name string
	file *ast.File
	fset *token.FileSet
}

func (s source) isTest() bool { return strings.HasSuffix(s.name, "_test.go") }

func (s source) pos(n ast.Node) string { return s.fset.Position(n.Pos()).String() }

func parseSources(t *testing.T) []source {
	t.Helper()
	var out []source
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && name != "." && strings.HasPrefix(d.Name(), ".") {
			return fs.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(name, ".go") {
			return nil
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, name, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		out = append(out, source{filepath.ToSlash(filepath.Dir(name)), name, file, fset})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestDecisionsArePure(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isTest() || !slices.Contains(decisionPackages, s.dir) {
			continue
		}
		for _, imp := range s.file.Imports {
			name := strings.Trim(imp.Path.Value, `"`)
			pkg, ok := strings.CutPrefix(name, "currantwick/")
			if name == "currantwick" || ok && slices.Contains(decisionPackages, pkg) {
				continue
			}
			if !slices.Contains(allowedImports, name) {
				t.Errorf("%s: decision package imports %s", s.pos(imp), name)
			}
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			id, ok := sel.X.(*ast.Ident)
			if ok && id.Name == "time" && slices.Contains(clockFuncs, sel.Sel.Name) {
				t.Errorf("%s: decision package uses time.%s", s.pos(n), sel.Sel.Name)
			}
			return true
		})
	}
}

func TestNoBareGo(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isTest() {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if _, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: bare go statement; use errgroup.Group.Go", s.pos(n))
			}
			return true
		})
	}
}

func TestPackagePaths(t *testing.T) {
	for _, s := range parseSources(t) {
		if strings.Contains("/"+s.dir+"/", "/internal/") {
			t.Errorf("%s: no internal packages", s.name)
		}
		base := path.Base(s.dir)
		// The name platform is prescribed, although it has more than six letters.
		if s.dir == "." || s.dir == "platform" || strings.HasPrefix(s.dir, "cmd") {
			continue
		}
		if len(base) < 4 || len(base) > 6 {
			t.Errorf("%s: package name %q is not four to six letters", s.name, base)
		}
	}
}

func TestExportedAreDocumented(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isTest() {
			continue
		}
		for _, decl := range s.file.Decls {
			switch d := decl.(type) {
			case *ast.FuncDecl:
				if d.Name.IsExported() && d.Doc == nil && hasExportedRecv(d) {
					t.Errorf("%s: %s has no doc comment", s.pos(d), d.Name.Name)
				}
			case *ast.GenDecl:
				checkSpecs(t, s, d)
			}
		}
	}
}

func hasExportedRecv(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	typ := d.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if idx, ok := typ.(*ast.IndexExpr); ok {
		typ = idx.X
	}
	id, ok := typ.(*ast.Ident)
	return ok && id.IsExported()
}

func checkSpecs(t *testing.T, s source, d *ast.GenDecl) {
	for _, spec := range d.Specs {
		switch sp := spec.(type) {
		case *ast.TypeSpec:
			if sp.Name.IsExported() && d.Doc == nil && sp.Doc == nil {
				t.Errorf("%s: type %s has no doc comment", s.pos(sp), sp.Name.Name)
			}
		case *ast.ValueSpec:
			if sp.Names[0].IsExported() && d.Doc == nil && sp.Doc == nil && sp.Comment == nil {
				t.Errorf("%s: %s has no doc comment", s.pos(sp), sp.Names[0].Name)
			}
		}
	}
}

// platformNames lists substrings of names that belong to the platform's API.
var platformNames = []string{
	"Currantwick-", "Kv-", "/currantwick/", "keyed.", "fencingToken", "pathPrefix", "sessionAffinity", "CURRANTWICK_BOOT",
}

// scaffolding lists the packages that speak the platform's protocol from the other
// side. Only tests import them.
var scaffolding = []string{"procs"}

func TestScaffoldingStaysOutside(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isTest() || slices.Contains(scaffolding, s.dir) {
			continue
		}
		for _, imp := range s.file.Imports {
			name := strings.TrimPrefix(strings.Trim(imp.Path.Value, `"`), "currantwick/")
			if slices.Contains(scaffolding, name) {
				t.Errorf("%s: the product imports %s", s.pos(imp), name)
			}
		}
	}
}

func TestPlatformNamesStayInside(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isTest() || s.dir == "platform" || slices.Contains(scaffolding, s.dir) {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING {
				return true
			}
			for _, name := range platformNames {
				if strings.Contains(lit.Value, name) {
					t.Errorf("%s: %s is a name of the platform", s.pos(n), lit.Value)
				}
			}
			return true
		})
	}
}

// platformImports lists the packages of the project that the platform's adapter
// may import; none of them contains decision logic.
var platformImports = []string{"currantwick", "currantwick/conns"}

func TestPlatformDecidesNothing(t *testing.T) {
	for _, s := range parseSources(t) {
		if s.isTest() || s.dir != "platform" {
			continue
		}
		for _, imp := range s.file.Imports {
			name := strings.Trim(imp.Path.Value, `"`)
			if strings.HasPrefix(name, "currantwick") && !slices.Contains(platformImports, name) {
				t.Errorf("%s: the platform's adapter imports %s", s.pos(imp), name)
			}
		}
	}
}
