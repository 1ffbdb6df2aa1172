/// \file
/// The project's one way to return a value or say why there is none.
#ifndef HAWTHORNNOTCH_BASE_RESULT_H_
#define HAWTHORNNOTCH_BASE_RESULT_H_

#include <cassert>
#include <optional>
#include <utility>
#include <variant>

namespace hawthornnotch {

/// Wraps a reason so that `result`'s constructor knows it from a value.
template <class Reason>
struct failed {
  Reason reason;
};
template <class Reason>
failed(Reason) -> failed<Reason>;

/// A `std::optional` value together with the typed reason for its absence.
///
/// Example:
///     result<port, parse_failure> p = port::parse(text);
///     if (!p) { report(p.last_reason()); }
/// Ownership: owns what it holds.  Thread safety: as a plain value.
template <class T, class Reason>
class [[nodiscard]] result {
 public:
  /// Absent, with the reason's default; asked for by `co_spawn`.
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
  /// The underlying optional, for callers that need no reason.
  [[nodiscard]] const std::optional<T>& value() const { return value_; }

  /// \pre !has_value()
  [[nodiscard]] const Reason& last_reason() const {
    assert(reason_);
    return *reason_;
  }

 private:
  std::optional<T> value_;
  std::optional<Reason> reason_;
};

/// For operations that return nothing but may fail.
template <class Reason>
using status = result<std::monostate, Reason>;

/// The success value of a `status`.
inline constexpr std::monostate ok{};

/// Makes one visitor out of several lambdas; a missing alternative does not compile.
template <class... Callables>
struct overloaded : Callables... {
  using Callables::operator()...;
};
template <class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_RESULT_H_
