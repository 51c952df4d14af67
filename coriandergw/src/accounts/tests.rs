//! Tests of the accounts of a configuration.

use super::*;

fn account(name: &str) -> Account {
    Account { name: name.into(), limit: None, priority: None }
}

fn key(text: &str) -> Credential {
    Credential::Key(text.into())
}

// Guards against a request that is served for another account, or without one.
#[test]
fn a_request_belongs_to_the_account_with_its_key() {
    let accounts =
        vec![(account("a"), vec!["k1".into(), "k2".into()]), (account("b"), vec!["k3".into()])];
    let table = AccountTable::new(accounts).expect("valid");
    let name = |credential: &Credential, allows_anonymous| {
        let account = table.identify(credential, allows_anonymous);
        account.map(|account| account.map(|account| account.name.to_string()))
    };
    assert_eq!(name(&key("k2"), false), Ok(Some("a".to_owned())));
    assert_eq!(name(&key("k3"), true), Ok(Some("b".to_owned())));
    assert_eq!(name(&key("k"), false), Err(CredentialError::Unknown));
    assert_eq!(name(&key("k"), true), Err(CredentialError::Unknown));
    assert_eq!(name(&Credential::Missing, false), Err(CredentialError::Missing));
    assert_eq!(name(&Credential::Missing, true), Ok(None));
    assert_eq!(name(&Credential::Malformed, true), Err(CredentialError::Malformed));
}

// Guards against a configuration in which a key names two accounts, and against an error that
// prints the key.
#[test]
fn a_key_of_two_accounts_is_invalid_and_is_not_named() {
    let accounts = vec![
        (account("a"), vec!["same-key".into(), "same-key".into()]),
        (account("b"), vec!["same-key".into()]),
    ];
    let fault = AccountTable::new(accounts).expect_err("a shared key").to_string();
    assert_eq!(fault, "accounts a and b have a key in common");
}

// Guards against a key in a log line that prints the headers of a request or a table.
#[test]
fn a_key_is_not_printed() {
    let table = AccountTable::new(vec![(account("a"), vec!["k-secret".into()])]).expect("valid");
    assert!(!format!("{:?} {table:?}", key("k-secret")).contains("secret"));
}
