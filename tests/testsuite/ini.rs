//! The INI parser and its line numbers.

use jayhall::util::ini;

#[test]
fn headings_keys_and_lines_are_found() {
    let text =
        "; a comment\n[customer bekele]\n weight = 3\n# more\nranks=urgent, quick\n\n[rules]\n";
    let sections = ini::parse(text).unwrap();
    assert_eq!(sections.len(), 2);
    assert_eq!(
        (&*sections[0].kind, &*sections[0].name),
        ("customer", "bekele")
    );
    assert_eq!(sections[0].line, 2);
    let weight = sections[0].entry("weight").unwrap();
    assert_eq!((&*weight.value, weight.line), ("3", 3));
    assert_eq!(&*sections[0].entry("ranks").unwrap().value, "urgent, quick");
    assert_eq!(&*sections[1].kind, "rules");
}

#[test]
fn a_line_without_a_value_is_refused_with_its_number() {
    let e = ini::parse("[rules]\nzones\n").unwrap_err();
    assert_eq!(e.line, 2);
}
