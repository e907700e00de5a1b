#pragma once

namespace carobpath::client {

/// Exit code of `carobpath`, for scripts.
enum class ExitCode : int {
    /// Done: published, in force, finished, or the question was answered.
    Ok = 0,
    /// An object file, a settings file, a key or a name is wrong; nothing was published.
    WrongInput = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The log holds the record, and every node rejects it.
    Rejected = 3,
    /// The log or the nodes could not be reached; nothing was published.
    Unavailable = 4,
    /// The record may have been published. Running again with the printed id is safe.
    Unknown = 5,
    /// The move was taken back.
    TakenBack = 6,
    /// What was waited for did not happen in time.
    Timeout = 7,
    /// The move was deleted or replaced before it ended.
    Withdrawn = 8,
    /// The move has not ended yet.
    InProgress = 9,
    /// The logs hold no line of the call that was asked for.
    NotFound = 10,
};

}
