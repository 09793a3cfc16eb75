//! An artificial partition of an entry from all upstreams. In debug builds, tests use it to cut off a
//! running entry.

use std::path::Path;
#[cfg(debug_assertions)]
use std::path::PathBuf;

/// What happens to connections to upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Nothing.
    #[default]
    None,
    /// No packet arrives: new connections are not established, open ones hang.
    Hang,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections are refused, open ones go on.
    RefuseNew,
}

/// The partition of an entry; none in a release build.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    #[cfg(debug_assertions)]
    file: Option<PathBuf>,
}

impl Partition {
    /// Returns the partition that a file beside the settings file `settings` states at each moment:
    /// `hang`, `reset` or `refuse`; none without the file.
    pub fn beside(settings: &Path) -> Self {
        #[cfg(debug_assertions)]
        return Self { file: Some(settings.with_extension("partition")) };
        #[cfg(not(debug_assertions))]
        {
            let _ = settings;
            Self {}
        }
    }

    /// Returns what happens to connections at this moment.
    pub(crate) fn cut(&self) -> Cut {
        #[cfg(debug_assertions)]
        if let Some(text) = self.file.as_ref().and_then(|it| std::fs::read_to_string(it).ok()) {
            return match text.trim() {
                "hang" => Cut::Hang,
                "reset" => Cut::Reset,
                "refuse" => Cut::RefuseNew,
                _ => Cut::None,
            };
        }
        Cut::None
    }
}
