//! Compares the message definitions with those of the released build.

use std::path::Path;

use testkit::schema::Schema;

/// The members of oneofs and values of enums that this build understands and does not send yet.
const UNDERSTOOD: [(&str, i64); 0] = [];

fn released() -> Schema {
    Schema::parse(include_str!("released-schema.txt"))
}

fn present() -> Schema {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../coriandergw/src");
    Schema::read(&source).expect("valid definitions")
}

fn position(message: &str, number: i64) -> (String, i64) {
    (message.to_owned(), number)
}

// Guards against a change of a message that the released build refuses or reads as something else.
#[test]
fn messages_can_be_exchanged_with_the_released_build() {
    let breaks = present().breaks(&released(), &UNDERSTOOD);
    assert!(breaks.is_empty(), "{}", breaks.join("\n"));
}

// Guards against a comparison that lets changes pass, or refuses a new field.
#[test]
fn each_kind_of_change_is_told_apart() {
    let released = released();
    let lost_endpoints = position("coriandergw.roster.Presence", 17);
    let breaks_after = |change: &dyn Fn(&mut Schema)| {
        let mut changed = released.clone();
        change(&mut changed);
        changed.breaks(&released, &[("coriandergw.versions.Command", 6)]).len()
    };
    let set = |message, number, field: &str| {
        breaks_after(&|schema| {
            schema.fields.insert(position(message, number), field.to_owned());
        })
    };
    assert_eq!(set("coriandergw.roster.Presence", 18, "bool storage_failed"), 0);
    assert_eq!(set("coriandergw.roster.Presence", 17, "uint32 lost_endpoints"), 1);
    assert_eq!(set("coriandergw.roster.Presence", 17, "bool something_else"), 1);
    assert_eq!(set("coriandergw.versions.Command", 5, "string new oneof kind"), 1);
    assert_eq!(set("coriandergw.versions.Command", 6, "string new oneof kind"), 0);
    assert_eq!(set("coriandergw.control.InstanceState", 4, "value NEW"), 1);
    assert_eq!(set("coriandergw.new.Message", 1, "string new oneof kind"), 0);
    let removed = |schema: &mut Schema| {
        schema.fields.remove(&lost_endpoints);
    };
    assert_eq!(breaks_after(&removed), 1);
    let reserved = |schema: &mut Schema| {
        removed(schema);
        schema.reserved.insert(lost_endpoints.clone());
    };
    assert_eq!(breaks_after(&reserved), 0);
}
