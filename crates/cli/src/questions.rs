//! The questionnaire on a terminal.

use std::net;

use model::config;
use settings::answers;

use crate::error;

/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: u32 = 4;
/// Port suggested for runners.
const PORT: u16 = 8000;

/// Asks everything.
pub(crate) fn ask() -> error::Result<answers::FleetAnswers> {
    Ok(answers::FleetAnswers {
        region: text("Region of the data centres")?,
        data_centres: some("data centre", centre)?,
        customers: some("customer", customer)?,
        services: some("service", service)?,
    })
}

/// Asks for one thing after the other until there is no more.
fn some<T>(what: &str, one: fn() -> error::Result<T>) -> error::Result<Vec<T>> {
    let mut list = vec![one()?];
    while yes(&format!("Another {what}?"))? {
        list.push(one()?);
    }
    Ok(list)
}

fn centre() -> error::Result<answers::CentreAnswer> {
    Ok(answers::CentreAnswer {
        name: text("Name of the data centre")?,
        first_address: value::<net::IpAddr>("IP address of its first runner")?,
    })
}

fn customer() -> error::Result<answers::CustomerAnswer> {
    let name = text("Name of the customer")?;
    let size = match yes("Is it a large one?")? {
        true => answers::CustomerSize::Large,
        false => answers::CustomerSize::Usual,
    };
    Ok(answers::CustomerAnswer { name, size })
}

fn service() -> error::Result<answers::ServiceAnswer> {
    let name = text("Name of the service")?;
    let (kind, non_idempotent) = match yes("Is it a model?")? {
        true => (model()?, Vec::new()),
        false => (plain()?, calls()?),
    };
    Ok(answers::ServiceAnswer {
        name,
        kind,
        runners: value("How many runners")?,
        port: dialoguer::Input::new()
            .with_prompt("Port of each runner")
            .default(PORT)
            .interact_text()?,
        timeout_ms: None,
        non_idempotent,
    })
}

fn model() -> error::Result<config::ServiceKind> {
    Ok(config::ServiceKind::Model {
        model: text("Name by which callers ask for the model")?,
        bytes_per_token: BYTES_PER_TOKEN,
    })
}

fn plain() -> error::Result<config::ServiceKind> {
    Ok(config::ServiceKind::Plain {
        path_prefix: text("Path prefix of its calls, as in /orders")?,
    })
}

fn calls() -> error::Result<Vec<String>> {
    match yes("Are there calls that may not run twice?")? {
        true => some("call that may not run twice", || {
            text("Method and path, as in POST /orders")
        }),
        false => Ok(Vec::new()),
    }
}

fn text(prompt: &str) -> error::Result<String> {
    value(prompt)
}

fn value<T>(prompt: &str) -> error::Result<T>
where
    T: Clone + std::str::FromStr + std::fmt::Display,
    T::Err: std::fmt::Display,
{
    Ok(dialoguer::Input::new()
        .with_prompt(prompt)
        .interact_text()?)
}

fn yes(prompt: &str) -> error::Result<bool> {
    let question = dialoguer::Confirm::new().with_prompt(prompt);
    Ok(question.default(false).interact()?)
}
