//! Maps the path of a field to its line in the file.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

/// Returns the line, counted from 1, of the field at `path` (such as `routing.limits[2].name`). If
/// the field is absent, returns the line of its nearest existing parent.
pub(crate) fn line_of(text: &str, root: Option<&Value<'_>>, path: &str) -> usize {
    let mut offset = 0;
    let mut current = root;
    for segment in path
        .split(['.', '['])
        .map(|part| part.trim_end_matches(']'))
    {
        let Some((start, value)) = current.and_then(|value| child(value, segment)) else {
            break;
        };
        offset = start;
        current = Some(value);
    }
    1 + text[..offset].matches('\n').count()
}

fn child<'a, 'text>(value: &'a Value<'text>, segment: &str) -> Option<(usize, &'a Value<'text>)> {
    match value {
        Value::Object(object) => property(object, segment),
        Value::Array(array) => {
            let element = array.elements.get(segment.parse::<usize>().ok()?)?;
            Some((element.range().start, element))
        }
        _ => None,
    }
}

fn property<'a, 'text>(object: &'a Object<'text>, name: &str) -> Option<(usize, &'a Value<'text>)> {
    let property = object
        .properties
        .iter()
        .find(|property| property.name.as_str() == name)?;
    Some((property.range.start, &property.value))
}
