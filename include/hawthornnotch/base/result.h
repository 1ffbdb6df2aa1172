/// \file
/// Return type of operations that may fail: a value or the reason for the failure.
#ifndef HAWTHORNNOTCH_BASE_RESULT_H_
#define HAWTHORNNOTCH_BASE_RESULT_H_

#include <cassert>
#include <optional>
#include <utility>
#include <variant>

namespace hawthornnotch {

/// Wraps a failure reason, to distinguish it from a value when a `result` is constructed.
template <class Reason>
struct failed {
  Reason reason;
};
template <class Reason>
failed(Reason) -> failed<Reason>;

/// Holds either a value or a typed reason for its absence, like `std::expected`.
///
/// Example:
///     result<port, parse_failure> p = port::parse(text);
///     if (!p) { report(p.last_reason()); }
/// Ownership: owns its value or reason.  Thread safety: as for a plain value.
template <class T, class Reason>
class [[nodiscard]] result {
 public:
  /// Holds a default-constructed reason; required by `co_spawn`.
  result() : reason_(Reason{}) {}
  // NOLINTNEXTLINE(google-explicit-constructor): a value converts, as with std::optional.
  result(T value) : value_(std::move(value)) {}
  template <class Other>
  result(failed<Other> why) : reason_(std::move(why.reason)) {}

  [[nodiscard]] bool has_value() const { return value_.has_value(); }
  explicit operator bool() const { return has_value(); }

  /// \pre has_value()
  [[nodiscard]] T& operator*() { return *value_; }
  [[nodiscard]] const T& operator*() const { return *value_; }
  [[nodiscard]] T* operator->() { return &*value_; }
  [[nodiscard]] const T* operator->() const { return &*value_; }
  /// \returns the value as an optional, for callers that do not need the reason.
  [[nodiscard]] const std::optional<T>& value() const { return value_; }

  /// \returns the reason for the failure.
  /// \pre !has_value()
  [[nodiscard]] const Reason& last_reason() const {
    assert(reason_);
    return *reason_;
  }

 private:
  std::optional<T> value_;
  std::optional<Reason> reason_;
};

/// Result of an operation that returns no value but may fail.
template <class Reason>
using status = result<std::monostate, Reason>;

/// The success value of a `status`.
inline constexpr std::monostate ok{};

/// Combines lambdas into one visitor; an unhandled alternative is a compile error.
template <class... Callables>
struct overloaded : Callables... {
  using Callables::operator()...;
};
template <class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_RESULT_H_
