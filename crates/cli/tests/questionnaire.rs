//! The questionnaire on a terminal.

mod support;

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::process;
use std::sync::mpsc;
use std::time::Duration;

use nix::pty;

/// Longest wait for one question.
const QUESTION_LIMIT: Duration = Duration::from_secs(30);

/// Questions in their order, with an answer to each.
const SCRIPT: &[(&str, &str)] = &[
    ("Region of the data centres", "jm-south\r"),
    ("Name of the data centre", "kgn-a\r"),
    ("IP address of its first runner", "10.30.1.1\r"),
    ("Another data centre?", "y"),
    ("Name of the data centre", "kgn-b\r"),
    ("IP address of its first runner", "10.30.2.1\r"),
    ("Another data centre?", "n"),
    ("Name of the customer", "depot-1\r"),
    ("Is it a large one?", "y"),
    ("Another customer?", "n"),
    ("Name of the service", "stockdesk-app\r"),
    ("Is it a model?", "n"),
    ("Path prefix of its calls", "/stock\r"),
    ("Are there calls that may not run twice?", "y"),
    ("Method and path", "POST /stock/reservations\r"),
    ("Another call that may not run twice?", "n"),
    ("How many runners", "3\r"),
    ("Port of each runner", "\r"),
    ("Another service?", "n"),
];

/// Passes on what the program shows until its end.
fn read_screen(mut terminal: fs::File) -> mpsc::Receiver<Vec<u8>> {
    let (sender, shown) = mpsc::channel();
    std::thread::spawn(move || {
        let mut buffer = [0; 1024];
        // Reading fails once the program has closed its end.
        while let Ok(count) = terminal.read(&mut buffer) {
            if count == 0 || sender.send(buffer[..count].to_vec()).is_err() {
                return;
            }
        }
    });
    shown
}

/// Answers each question after it was shown.
fn answer(mut terminal: fs::File, shown: &mpsc::Receiver<Vec<u8>>) -> io::Result<()> {
    for (question, answer) in SCRIPT {
        let mut screen = String::new();
        while !screen.contains(question) {
            let piece = shown.recv_timeout(QUESTION_LIMIT);
            let piece = piece.unwrap_or_else(|_| panic!("{question} was not asked: {screen}"));
            screen.push_str(&String::from_utf8_lossy(&piece));
        }
        terminal.write_all(answer.as_bytes())?;
    }
    Ok(())
}

#[test]
fn questions_lead_to_a_configuration() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let (output, answers) = (path("fleet.yaml"), path("answers.yaml"));
    let terminal = pty::openpty(None, None).unwrap();
    let side = || process::Stdio::from(terminal.slave.try_clone().unwrap());
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_sardinepaddle"))
        .args(["init", "--output", &output, "--save-answers", &answers])
        .env("TERM", "xterm")
        .stdin(side())
        .stdout(side())
        .stderr(side())
        .spawn()
        .unwrap();
    drop(terminal.slave);
    let screen = fs::File::from(terminal.master.try_clone().unwrap());
    let shown = read_screen(screen);
    answer(fs::File::from(terminal.master), &shown).unwrap();
    let status = child.wait().unwrap();
    assert!(status.success(), "{status:?}");
    let text = fs::read_to_string(&output).unwrap();
    let fleet = settings::check::config("fleet", &text).unwrap();
    assert_eq!(fleet.endpoints.len(), 3);
    assert_eq!(fleet.data_centres.len(), 2);
    let service = fleet.services.values().next().unwrap();
    assert_eq!(service.non_idempotent[0].path, "/stock/reservations");
    let again = support::run(&["init", "--answers", &answers]);
    assert_eq!(again.stdout, text, "{again:?}");
}
