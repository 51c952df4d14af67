//! Lists the fields of all messages, to compare them with those of the released build.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use protox::Compiler;
use protox::prost_reflect::DescriptorPool;
use protox::prost_reflect::FieldDescriptor;
use protox::prost_reflect::MessageDescriptor;

use crate::generate::GenerateError;
use crate::generate::PROTO_FILE;
use crate::generate::fault;

/// A field or enum value: its message or enum, and its number.
pub type Position = (String, i64);

/// The fields and enum values of all messages of the source folder.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Schema {
    /// What each position holds: type, name and, for a member of a oneof, the oneof.
    pub fields: BTreeMap<Position, String>,
    /// The numbers that removed fields had.
    pub reserved: BTreeSet<Position>,
}

impl Schema {
    /// Reads the message definitions of all slices below `source`.
    ///
    /// # Errors
    /// Fails on the first definition that is not valid.
    pub fn read(source: &Path) -> Result<Self, GenerateError> {
        let mut schema = Self::default();
        let folders = std::fs::read_dir(source).map_err(|cause| fault(source, cause))?;
        for folder in folders.filter_map(Result::ok) {
            let proto = folder.path().join(PROTO_FILE);
            if proto.exists() {
                let pool = compile(&proto, &folder.path())?;
                schema.add(&pool);
            }
        }
        Ok(schema)
    }

    /// Parses what [`Schema::to_text`] returned.
    ///
    /// # Panics
    /// Panics on a line of another form.
    pub fn parse(text: &str) -> Self {
        let fields = text.lines().map(|line| {
            let parts: Vec<&str> = line.splitn(3, ' ').collect();
            let [message, number, field] = parts[..] else {
                panic!("{line:?} has no message, number and field");
            };
            ((message.to_owned(), number.parse().expect("a number")), field.to_owned())
        });
        Self { fields: fields.collect(), ..Self::default() }
    }

    /// Returns the fields as text, one a line.
    pub fn to_text(&self) -> String {
        let lines = self.fields.iter();
        lines.map(|((message, number), field)| format!("{message} {number} {field}\n")).collect()
    }

    fn add(&mut self, pool: &DescriptorPool) {
        for message in pool.all_messages() {
            self.add_message(&message);
        }
        for one in pool.all_enums() {
            for value in one.values() {
                let position = (one.full_name().to_owned(), i64::from(value.number()));
                self.fields.insert(position, format!("value {}", value.name()));
            }
        }
    }

    fn add_message(&mut self, message: &MessageDescriptor) {
        let name = message.full_name();
        for field in message.fields() {
            let position = (name.to_owned(), i64::from(field.number()));
            self.fields.insert(position, describe(&field));
        }
        for number in message.reserved_ranges().flatten() {
            self.reserved.insert((name.to_owned(), i64::from(number)));
        }
    }

    /// Returns in which ways this schema breaks the exchange with a build of the `released` one.
    ///
    /// A field that is new in a message is no break: the released build ignores it. A new member of
    /// a oneof or value of an enum is one unless `understood` lists it.
    pub fn breaks(&self, released: &Self, understood: &[(&str, i64)]) -> Vec<String> {
        let mut breaks = Vec::new();
        for (position @ (message, number), field) in &released.fields {
            match self.fields.get(position) {
                Some(present) if present == field => {}
                Some(present) => {
                    breaks.push(format!("{message} {number}: {field} is now {present}"));
                }
                None if self.reserved.contains(position) => {}
                None => breaks.push(format!("{message} {number}: {field} is gone, not reserved")),
            }
        }
        let known: BTreeSet<&String> = released.fields.keys().map(|(message, _)| message).collect();
        let new =
            self.fields.iter().filter(|(position, _)| !released.fields.contains_key(position));
        for ((message, number), field) in new {
            let is_variant = field.starts_with("value ") || field.contains(" oneof ");
            let is_understood = understood.contains(&(message.as_str(), *number));
            if is_variant && known.contains(message) && !is_understood {
                breaks.push(format!("{message} {number}: {field} is new among alternatives"));
            }
        }
        breaks
    }
}

fn compile(proto: &Path, folder: &Path) -> Result<DescriptorPool, GenerateError> {
    let mut compiler = Compiler::new([folder]).map_err(|cause| fault(proto, cause))?;
    compiler.open_file(proto).map_err(|cause| fault(proto, cause))?;
    Ok(compiler.descriptor_pool())
}

fn describe(field: &FieldDescriptor) -> String {
    let label = if field.is_list() { "repeated " } else { "" };
    let oneof = field.containing_oneof();
    let oneof = oneof.map(|oneof| format!(" oneof {}", oneof.name())).unwrap_or_default();
    format!("{label}{:?} {}{oneof}", field.kind(), field.name())
}
